// Package examples holds the example settings, intents and deployments of this directory, so that the demo runs from
// any working directory.
package examples

import "embed"

// Files holds the deployments of the demo, one directory each.
//
//go:embed karutehas crease-union
var Files embed.FS
