"""Where requests are lost: a table from the lines that nodes write."""
