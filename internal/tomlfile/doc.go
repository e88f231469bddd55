// Package tomlfile reads TOML files key by key and records every finding with
// its line: syntax, unknown keys, wrong types, values out of range.
//
// The TOML library gives no line for a key, so the package keeps its own index
// of lines, built once the library has accepted the text.
package tomlfile
