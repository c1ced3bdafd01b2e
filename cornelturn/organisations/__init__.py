"""Who may call a queue, and whose jobs a caller sees."""
