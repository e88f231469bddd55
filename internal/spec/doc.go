// Package spec reads and checks operators' files and collects them into one configuration.
package spec
