"""What a control instance keeps on its disk."""
