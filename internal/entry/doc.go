// Package entry implements the HTTP reverse proxy in front of the endpoints.
// It admits callers' requests, queues them until a slot of an endpoint is free,
// forwards them, and reports whether each was run. Non-idempotent requests are
// claimed at control before they are sent, so that each runs at most once.
package entry
