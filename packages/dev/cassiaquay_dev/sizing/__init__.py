"""What each role costs, measured as slopes, and what that means at full size."""
