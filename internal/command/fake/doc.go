// Package fake holds the command line of the fakes that the demo and the
// failure tests run as processes of their own.
package fake
