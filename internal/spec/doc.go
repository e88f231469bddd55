// Package spec reads the TOML files in which operators describe jobs, teams and worker
// shapes, checks them, and collects them into one configuration.
package spec
