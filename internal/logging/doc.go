// Package logging sets up structured logs that redact secrets and never block on
// a slow reader.
package logging
