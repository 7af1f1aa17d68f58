// Package source decodes TOML files strictly and keeps the position of each
// key, so that every error names its file, line and column.
//
// It assumes files of at most a few megabytes: the whole file is held in
// memory while it is decoded.
package source
