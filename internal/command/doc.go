// Package command implements pistachioctl, the command-line tool for operators. Each
// subcommand has its own file.
package command
