package command

import (
	"strconv"

	"github.com/spf13/cobra"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

func newClusterCommand(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "cluster",
		Short: "Forms the cluster of control processes and shows it",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newClusterInitCommand(s), newClusterStatusCommand(s), newClusterMembersCommand(s))
	return command
}

func newClusterStatusCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Shows the cluster's term, revisions and members",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return s.withClient(func(client *rpc.Client) error {
				status, err := call(command.Context(), s, client.Control().ClusterStatus, &apiv1.ClusterStatusRequest{})
				if err != nil {
					return err
				}
				return s.show(status, clusterTable(status), membersTable(status.GetMembers()))
			})
		},
	}
}

func newClusterMembersCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "members",
		Short: "Lists the control processes",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return s.withClient(func(client *rpc.Client) error {
				status, err := call(command.Context(), s, client.Control().ClusterStatus, &apiv1.ClusterStatusRequest{})
				if err != nil {
					return err
				}
				return s.show(status, membersTable(status.GetMembers()))
			})
		},
	}
}

func clusterTable(status *apiv1.ClusterStatusResponse) *table {
	t := &table{header: []string{"CLUSTER", "TERM", "COMMIT", "REVISION", "CONFIGURATION", "ANSWERED BY"}}
	t.add(status.GetClusterId(), status.GetTerm(), status.GetCommitIndex(), status.GetRevision(),
		status.GetConfigurationRevision(), status.GetAnsweredBy())
	return t
}

func membersTable(members []*apiv1.Member) *table {
	t := &table{header: []string{"MEMBER", "ADDRESS", "FAILURE DOMAIN", "ROLE", "LEADER", "REACHABLE", "MATCH", "INCARNATION", "PROBLEM"}}
	for _, m := range members {
		t.add(m.GetName(), m.GetAddress(), m.GetFailureDomain(), m.GetRole(), m.GetLeader(), m.GetReachable(),
			matchIndexText(m.GetMatchIndex()), incarnationText(m.GetIncarnation()), m.GetProblem())
	}
	return t
}

// matchIndexText formats the highest log index that a member is known to hold; empty
// if not known. Only the leader knows it, and only for the other members.
func matchIndexText(index uint64) string {
	if index == 0 {
		return ""
	}
	return strconv.FormatUint(index, 10)
}
