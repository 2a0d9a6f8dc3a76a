"""Version of this release; the package metadata and the command line read the version from this module."""

VERSION = "0.2.0"
