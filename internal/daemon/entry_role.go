package daemon

import "context"

type entryRole struct{}

func newEntryRole(*process) (*entryRole, error) { return &entryRole{}, nil }

func (*entryRole) run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
