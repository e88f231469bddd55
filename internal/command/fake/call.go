package fake

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

const (
	maxResponseBytes   = 16 << 20
	untilRetryInterval = 50 * time.Millisecond
	outcomeHeader      = "Pistachio-Outcome"
)

// callOptions holds the flags of the call command.
type callOptions struct {
	idempotencyKey string
	body           string
	timeout        time.Duration
	untilStatus    int
	untilTimeout   time.Duration
}

func newCallCommand() *cobra.Command {
	var options callOptions
	command := &cobra.Command{
		Use:   "call METHOD URL",
		Short: "Sends one request and prints its status and outcome in the first line, then the answer's body",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, arguments []string) error {
			return options.run(command.Context(), command.OutOrStdout(), arguments[0], arguments[1])
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.idempotencyKey, "key", "", "Idempotency-Key of the request")
	flags.StringVar(&options.body, "body", "", "body of the request")
	flags.DurationVar(&options.timeout, "timeout", 10*time.Second, "time limit of one request")
	flags.IntVar(&options.untilStatus, "until", 0, "send again until the answer has this status (only for requests that may be repeated)")
	flags.DurationVar(&options.untilTimeout, "within", 30*time.Second, "time limit of --until")
	return command
}

// run sends the request, with --until again until the status is reached, and writes
// the last response to out.
func (o callOptions) run(ctx context.Context, out io.Writer, method, url string) error {
	if o.untilStatus == 0 {
		_, err := o.send(ctx, out, method, url)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.untilTimeout)
	defer cancel()
	for {
		var text strings.Builder
		status, err := o.send(ctx, &text, method, url)
		if err == nil && status == o.untilStatus {
			_, err = io.WriteString(out, text.String())
			return errors.Wrap(err, "print answer")
		}
		select {
		case <-ctx.Done():
			return errors.Newf("%s %s did not answer with %d within %v; last status %d, last error %v",
				method, url, o.untilStatus, o.untilTimeout, status, err)
		case <-time.After(untilRetryInterval):
		}
	}
}

// send sends the request once and writes the response to out. Each request has a new
// connection, because the HTTP client may retry requests on reused connections.
func (o callOptions) send(ctx context.Context, out io.Writer, method, url string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(o.body))
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	if o.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", o.idempotencyKey)
	}
	client := &http.Client{Timeout: o.timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrapf(err, "send %s %s", method, url)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, errors.Wrapf(err, "read answer of %s", url)
	}
	outcome := response.Header.Get(outcomeHeader)
	if outcome == "" {
		outcome = "-"
	}
	_, err = fmt.Fprintf(out, "%d %s\n%s\n", response.StatusCode, outcome, body)
	return response.StatusCode, errors.Wrap(err, "print answer")
}
