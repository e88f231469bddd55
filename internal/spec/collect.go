package spec

import (
	"io/fs"
	"path/filepath"
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/finding"
	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// maxFiles bounds how many files one collection reads.
const maxFiles = 10000

// Collect reads operators' files and returns them as one configuration, sorted
// by name. A path names a file, or a folder whose .toml files are all read,
// those of its subfolders included. The error, if any, is a *finding.Error
// with every finding of all files.
func Collect(paths ...string) (*apiv1.Configuration, error) {
	var findings finding.List
	c := newCollection(&findings)
	for _, file := range listFiles(paths, &findings) {
		if table := tomlfile.Read(file.path, &findings); table != nil {
			c.read(table, file.source)
		}
	}
	c.check()
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return c.configuration(), nil
}

// sourceFile is one file to read. Its source does not depend on where the
// files are checked out, because it becomes part of the configuration.
type sourceFile struct {
	path   string
	source string
}

// listFiles resolves folders and drops files that are named twice.
func listFiles(paths []string, findings *finding.List) []sourceFile {
	if len(paths) == 0 {
		findings.Add(finding.Finding{File: ".", Problem: "no file is named", Allowed: "files and folders of operators' files"})
	}
	var files []sourceFile
	seen := map[string]bool{}
	for _, path := range paths {
		found := len(files)
		err := filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil:
				findings.Add(finding.Finding{File: file, Problem: "can't be read: " + err.Error()})
			case entry.IsDir():
			case file != path && !strings.HasSuffix(file, ".toml"):
			case !seen[filepath.Clean(file)]:
				seen[filepath.Clean(file)] = true
				files = append(files, sourceFile{path: file, source: sourceName(path, file)})
			}
			if len(files) > maxFiles {
				findings.Add(finding.Finding{File: path, Problem: "holds too many files", Allowed: "at most 10000"})
				return fs.SkipAll
			}
			return nil
		})
		if err == nil && len(files) == found && findings.Len() == 0 && !seen[filepath.Clean(path)] {
			findings.Add(finding.Finding{File: path, Problem: "holds no .toml file"})
		}
	}
	return files
}

// sourceName returns the file's path within the folder that was named, or its
// base name if it was named itself.
func sourceName(named, file string) string {
	if relative, err := filepath.Rel(named, file); err == nil && relative != "." {
		return filepath.ToSlash(relative)
	}
	return filepath.Base(file)
}
