//! Reads little-endian integers at an offset of a byte slice. Returns `None` if the slice is too short.

fn array_at<const N: usize>(bytes: &[u8], offset: usize) -> Option<[u8; N]> {
    bytes.get(offset..offset + N)?.try_into().ok()
}

pub fn u16_at(bytes: &[u8], offset: usize) -> Option<u16> {
    array_at(bytes, offset).map(u16::from_le_bytes)
}

pub fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    array_at(bytes, offset).map(u32::from_le_bytes)
}

pub fn u64_at(bytes: &[u8], offset: usize) -> Option<u64> {
    array_at(bytes, offset).map(u64::from_le_bytes)
}
