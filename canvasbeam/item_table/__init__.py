"""The replicated item table that every node stores, and documents for large values.

Merging is commutative and idempotent, and the version of an item never decreases. The package does not depend on nodes
or sockets: the package `distribution` sends items between nodes.

Start reading at `items.py` (the table). `document.py` defines a value of many entries with an incrementally updated
digest, `configuration_document.py` converts a configuration into a document, and `configuration_fields.py` defines the
fields of a configuration that the programs read.
"""
