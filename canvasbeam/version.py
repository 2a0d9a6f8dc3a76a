"""The version of this release: the package metadata and the command line both take it from here."""

VERSION = "0.2.0"
