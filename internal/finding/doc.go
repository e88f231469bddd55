// Package finding collects the problems in operators' files with their file and line,
// so that one check reports them all.
package finding
