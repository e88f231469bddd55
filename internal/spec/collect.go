package spec

import (
	"io/fs"
	"path/filepath"
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/finding"
	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// maxFiles is the largest number of files that one call of Collect reads.
const maxFiles = 10000

// Collect reads and checks operators' files and returns their content as one
// configuration, in which the parts are sorted by name. Each path names a file or a
// folder, of which all .toml files are read, including those in subfolders. The
// error, if any, is a *finding.Error with every problem of all files.
func Collect(paths ...string) (*apiv1.Configuration, error) {
	var findings finding.List
	c := newCollection(&findings)
	for _, file := range listFiles(paths, &findings) {
		if table := tomlfile.Read(file.path, &findings); table != nil {
			c.addFile(table, file.source)
		}
	}
	c.check()
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return c.configuration(), nil
}

// sourceFile is one file to read. Its source is a relative path, because it becomes
// part of the configuration, which must not depend on where the files are checked out.
type sourceFile struct {
	path   string
	source string
}

// listFiles returns the files at the paths and in folders. A file that is named twice
// is listed once. It adds a finding for a path without files, and beyond maxFiles.
func listFiles(paths []string, findings *finding.List) []sourceFile {
	if len(paths) == 0 {
		findings.Add(finding.Finding{File: ".", Problem: "no file is named", Allowed: "files and folders of operators' files"})
	}
	var files []sourceFile
	seen := map[string]bool{}
	for _, path := range paths {
		filesBefore := len(files)
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
		if err == nil && len(files) == filesBefore && findings.Len() == 0 && !seen[filepath.Clean(path)] {
			findings.Add(finding.Finding{File: path, Problem: "holds no .toml file"})
		}
	}
	return files
}

// sourceName returns the file's path relative to the given path, or its base name if
// the path is the file itself.
func sourceName(path, file string) string {
	if relative, err := filepath.Rel(path, file); err == nil && relative != "." {
		return filepath.ToSlash(relative)
	}
	return filepath.Base(file)
}
