package command

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"

	"github.com/pistachioport/pistachioport/internal/rpc"
)

const (
	defaultTimeout = 10 * time.Second
	maxTimeout     = time.Hour
)

// Environment variables that the tool reads.
const (
	controlVariable  = "PISTACHIO_CONTROL"  // addresses, separated by commas
	configVariable   = "PISTACHIO_CONFIG"   // the tool's own settings file
	operatorVariable = "PISTACHIO_OPERATOR" // name for the audit trail
	userVariable     = "USER"
)

// session holds the environment and the global flags of one run of the tool.
type session struct {
	environment    Environment
	control        []string
	defaultControl []string // addresses if the flag, the environment and the file name none
	configPath     string
	operator       string
	timeout        time.Duration
	output         outputFormat
}

func newSession(environment Environment) *session {
	return &session{environment: environment, timeout: defaultTimeout, output: outputTable}
}

func (s *session) addFlags(flags *pflag.FlagSet) {
	flags.StringSliceVar(&s.control, "control", nil, "addresses of control processes (environment: "+controlVariable+")")
	flags.StringVar(&s.configPath, "config", "", "settings file of this tool (environment: "+configVariable+")")
	flags.StringVar(&s.operator, "operator", "", "name for the audit trail (environment: "+operatorVariable+", "+userVariable+")")
	flags.DurationVar(&s.timeout, "timeout", defaultTimeout, "deadline of each call")
	flags.VarP(&s.output, "output", "o", "table or json")
}

// connect returns a client of the control processes. Their addresses come from the
// first source that names any: the flag, the environment, the settings file,
// s.defaultControl.
func (s *session) connect() (*rpc.Client, error) {
	file, err := s.readConfigFile()
	if err != nil {
		return nil, err
	}
	addresses := s.control
	if len(addresses) == 0 {
		addresses = splitList(s.getenv(controlVariable))
	}
	if len(addresses) == 0 {
		addresses = file.control
	}
	if len(addresses) == 0 {
		addresses = s.defaultControl
	}
	if len(addresses) == 0 {
		return nil, errors.Mark(errors.Newf(
			"no control process is known; name one by --control, %s or the key control in the file of --config",
			controlVariable), errUsage)
	}
	return rpc.NewClient(rpc.Options{Addresses: addresses}), nil
}

// operatorName returns the operator's name for the audit trail.
func (s *session) operatorName() (string, error) {
	file, err := s.readConfigFile()
	if err != nil {
		return "", err
	}
	for _, name := range []string{s.operator, s.getenv(operatorVariable), file.operator, s.getenv(userVariable)} {
		if name != "" {
			return name, nil
		}
	}
	return "", errors.Mark(errors.Newf("no operator is named; give --operator or %s", operatorVariable), errUsage)
}

// callContext returns a context with the deadline of one call, which is at least 1 ms
// and at most maxTimeout away.
func (s *session) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, min(max(s.timeout, time.Millisecond), maxTimeout))
}

func (s *session) getenv(name string) string {
	value, _ := s.environment.LookupEnv(name)
	return value
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}
