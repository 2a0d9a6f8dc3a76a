"""The independent review; see REPORT.md."""
