// Package finding collects what is wrong in operators' files, with its place,
// so that everything is reported together.
package finding
