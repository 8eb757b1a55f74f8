//! How the cost of single parts grows with their input.
