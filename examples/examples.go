// Package examples contains the documents of two teams, which "skylarkstall dev" and the tests use.
package examples

import _ "embed" // for the documents

// Vembanad is the document of a team whose callers wait for the output of short requests.
//
//go:embed vembanad.yaml
var Vembanad []byte

// Goldfields is the document of a team whose short requests share the cell with long batch tasks.
//
//go:embed goldfields.yaml
var Goldfields []byte
