// Package buildinfo reports the version of the programs.
//
// # Usage
//
//	fmt.Println(buildinfo.String())
package buildinfo

import "runtime/debug"

// String returns the module version, followed by the commit if the build
// recorded it, or "unknown" if the binary contains no build information.
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
