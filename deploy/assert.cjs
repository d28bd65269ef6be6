// Replaces Node.js's `assert` in the bundle. The original parses the source of the program to describe a failed assertion, which
// blocks the event loop for seconds with the long lines of a bundle. undici asserts on what backend servers send.
class AssertionError extends Error {
	name = 'AssertionError';
	code = 'ERR_ASSERTION';
}

const assert = (value, message = 'an assertion has failed') => {
	if (!value) {
		throw message instanceof Error ? message : new AssertionError(message);
	}
};

module.exports = assert;
