// Package control is the control role: leader duties, and the services for entries, endpoints, workers and operators.
package control
