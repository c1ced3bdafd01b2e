"""What operators are shown of organisations; nothing here takes part in a decision."""
