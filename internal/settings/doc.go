// Package settings reads and checks the daemon's settings file.
package settings
