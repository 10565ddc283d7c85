// Package examples holds the documents of two teams that dev and the tests use.
package examples

import _ "embed" // for the documents

// Vembanad is the document of a team whose callers wait for proofs.
//
//go:embed vembanad.yaml
var Vembanad []byte

// Goldfields is the document of a team whose short quotes share the cell with long runs.
//
//go:embed goldfields.yaml
var Goldfields []byte
