//! Values in their JSON form: sizes, and values that are kept as text.

use std::{fmt, io, marker::PhantomData, sync::Arc};

use serde::{de::DeserializeOwned, Deserialize, Serialize};
use serde_json::value::RawValue;

/// Counts the bytes that are written to it.
#[derive(Debug, Default)]
struct Counter(usize);

impl io::Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the size of a value as JSON, in bytes.
pub fn size<T: Serialize + ?Sized>(value: &T) -> usize {
    let mut counter = Counter::default();
    // Only a value that has no JSON form fails, and it takes no bytes.
    let _ = serde_json::to_writer(&mut counter, value);
    counter.0
}

/// A value that is kept as its JSON text, which takes less memory than the value, and is passed on
/// without being parsed.
#[derive(Serialize, Deserialize)]
#[serde(transparent, bound = "")]
pub struct Text<T> {
    text: Arc<RawValue>,
    #[serde(skip)]
    value: PhantomData<fn() -> T>,
}

impl<T: Serialize + DeserializeOwned> Text<T> {
    /// Returns the text of a value.
    ///
    /// # Errors
    ///
    /// Fails if the value has no JSON form.
    pub fn new(value: &T) -> Result<Self, serde_json::Error> {
        let text = serde_json::value::to_raw_value(value)?;
        Ok(Self {
            text: text.into(),
            value: PhantomData,
        })
    }

    /// Returns the value.
    ///
    /// # Errors
    ///
    /// Fails if the text is of another form, as another build may have written it.
    pub fn parse(&self) -> Result<T, serde_json::Error> {
        serde_json::from_str(self.text.get())
    }
}

impl<T> Text<T> {
    /// Returns the length of the text, in bytes.
    pub fn len(&self) -> usize {
        self.text.get().len()
    }

    /// Returns whether the text is empty, which JSON never is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<T> Clone for Text<T> {
    fn clone(&self) -> Self {
        Self {
            text: self.text.clone(),
            value: PhantomData,
        }
    }
}

impl<T> PartialEq for Text<T> {
    fn eq(&self, other: &Self) -> bool {
        self.text.get() == other.text.get()
    }
}

impl<T> fmt::Debug for Text<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.text.get())
    }
}
