// Package settings reads the daemon's settings file, checks it and fills in defaults.
// All problems of a file are reported together.
package settings
