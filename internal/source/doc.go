// Package source decodes TOML files strictly and records the position of each
// key, so that every error is reported with its file, line and column.
//
// It is meant for files of at most a few megabytes: a whole file is held in
// memory while it is decoded.
package source
