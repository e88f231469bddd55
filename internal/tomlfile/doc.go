// Package tomlfile reads TOML files key by key. It records every problem with its
// line as a finding: syntax errors, unknown keys, wrong types and values out of
// range.
//
// The TOML library does not report the lines of keys. After the library has
// accepted a text, the package therefore scans it again to index them.
package tomlfile
