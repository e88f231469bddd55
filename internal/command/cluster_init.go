package command

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
	"github.com/pistachioport/pistachioport/internal/settings"
)

func newClusterInitCommand(s *session) *cobra.Command {
	var settingsPath string
	var members []string
	command := &cobra.Command{
		Use:   "init",
		Short: "Forms a new cluster, once, of control processes with empty data folders",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			voters, err := readVoters(settingsPath, members)
			if err != nil {
				return err
			}
			operator, err := s.operatorName()
			if err != nil {
				return err
			}
			s.defaultControl = memberAddresses(voters)
			return s.withClient(func(client *rpc.Client) error {
				request := &apiv1.InitClusterRequest{Members: voters, Operator: operator}
				response, err := call(command.Context(), s, client.Control().InitCluster, request)
				if err != nil {
					return err
				}
				t := &table{header: []string{"CLUSTER", "VOTERS"}}
				t.add(response.GetClusterId(), len(voters))
				return s.show(response, t)
			})
		},
	}
	command.Flags().StringVar(&settingsPath, "settings", "", "settings file of a control process, whose members that are no spares become voters")
	command.Flags().StringArrayVar(&members, "member", nil, "a voter as NAME=ADDRESS=FAILURE-DOMAIN; repeat for each")
	return command
}

func readVoters(settingsPath string, members []string) ([]*apiv1.Member, error) {
	if (settingsPath == "") == (len(members) == 0) {
		return nil, errors.Mark(errors.New("name the voters either by --settings or by --member"), errUsage)
	}
	if settingsPath == "" {
		return parseVoters(members)
	}
	loaded, err := settings.Load(settingsPath)
	if err != nil {
		return nil, err
	}
	if loaded.Control == nil {
		return nil, errors.Mark(errors.Newf("%s has no control role", settingsPath), errUsage)
	}
	var voters []*apiv1.Member
	for _, m := range loaded.Control.Voters() {
		voters = append(voters, &apiv1.Member{Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain})
	}
	return voters, nil
}

func parseVoters(texts []string) ([]*apiv1.Member, error) {
	var voters []*apiv1.Member
	for _, text := range texts {
		parts := strings.Split(text, "=")
		if len(parts) != 3 {
			return nil, errors.Mark(errors.Newf("member %q is not of the form NAME=ADDRESS=FAILURE-DOMAIN", text), errUsage)
		}
		voters = append(voters, &apiv1.Member{Name: parts[0], Address: parts[1], FailureDomain: parts[2]})
	}
	if len(voters)%2 == 0 {
		return nil, errors.Mark(errors.Newf("%d voters are named; allowed: 1, 3, 5 or 7", len(voters)), errUsage)
	}
	return voters, nil
}

func memberAddresses(members []*apiv1.Member) []string {
	addresses := make([]string, len(members))
	for i, member := range members {
		addresses[i] = member.GetAddress()
	}
	return addresses
}

func incarnationText(incarnation uint64) string {
	if incarnation == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", incarnation)
}
