package command

import (
	"github.com/pistachioport/pistachioport/internal/finding"
	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// configFile holds the settings of the tool itself.
type configFile struct {
	control  []string
	operator string
}

// readConfigFile reads the file that --config or the environment names; without one,
// it returns an empty configFile.
func (s *session) readConfigFile() (configFile, error) {
	path := s.configPath
	if path == "" {
		path = s.getenv(configVariable)
	}
	if path == "" {
		return configFile{}, nil
	}
	var findings finding.List
	table := tomlfile.Read(path, &findings)
	if table == nil {
		return configFile{}, findings.Err()
	}
	file := configFile{
		control:  table.Addresses("control"),
		operator: table.String("operator", ""),
	}
	table.ReportUnknownKeys()
	return file, findings.Err()
}
