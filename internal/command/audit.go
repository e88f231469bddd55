package command

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

func newAuditCommand(s *session) *cobra.Command {
	var since, job string
	var limit int32
	command := &cobra.Command{
		Use:   "audit",
		Short: "Lists who changed what, when, and with which outcome",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			sinceMs, err := parseSince(since, time.Now())
			if err != nil {
				return err
			}
			return s.withClient(func(client *rpc.Client) error {
				request := &apiv1.ListAuditRequest{SinceUnixMs: sinceMs, Object: job, Limit: limit}
				response, err := call(command.Context(), s, client.Control().ListAudit, request)
				if err != nil {
					return err
				}
				return s.show(response, auditTable(response.GetRecords()))
			})
		},
	}
	flags := command.Flags()
	flags.StringVar(&since, "since", "", `a time as in RFC 3339, or a length of time before now such as "24h"`)
	flags.StringVar(&job, "job", "", "only changes of this job or other object")
	flags.Int32Var(&limit, "limit", 0, "at most this many records (0: the cell's default)")
	_ = command.RegisterFlagCompletionFunc("job", s.completeJobFlag) // fails only for unknown flags
	return command
}

// parseSince returns the time of --since in Unix milliseconds; 0 if it is empty.
func parseSince(text string, now time.Time) (int64, error) {
	if text == "" {
		return 0, nil
	}
	if age, err := time.ParseDuration(text); err == nil && age >= 0 {
		return now.Add(-age).UnixMilli(), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, errors.Mark(errors.Newf("--since %q is neither a time as in RFC 3339 nor a length of time", text), errUsage)
	}
	return at.UnixMilli(), nil
}

func auditTable(records []*apiv1.AuditRecord) *table {
	t := &table{header: []string{"TIME", "ACTOR", "ACTION", "OBJECT", "BASE", "REVISION", "OUTCOME", "DETAIL"}}
	for _, r := range records {
		t.add(timeText(r.GetUnixMs()), r.GetActor(), r.GetAction(), r.GetObject(), r.GetBaseRevision(), r.GetRevision(),
			r.GetOutcome(), r.GetDetail())
	}
	return t
}
