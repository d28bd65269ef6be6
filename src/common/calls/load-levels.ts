/** From where on a backend server is slower than usual, by what it says of itself. */

/** Part of its slots, one more call counted, up to which a backend server does not slow itself down. */
export const roomyPart = 0.8;

/** Work time against the usual from which neighbours slow a backend server down: twice what spread alone explains. */
export const slowFrom = 1.6;
