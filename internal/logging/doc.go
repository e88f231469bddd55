// Package logging sets up structured logs.
package logging
