// Package command holds the command-line tool, one file for each subcommand.
package command
