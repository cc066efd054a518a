// Package buildinfo names the version of the programs.
//
// # Usage
//
//	fmt.Println(buildinfo.String())
package buildinfo

import "runtime/debug"

// String returns the module version and, where the build recorded it, the
// commit.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	if version == "" {
		version = "(devel)"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return version + " " + setting.Value
		}
	}
	return version
}
