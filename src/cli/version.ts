/** The version that `jaydale --version` tells; a test holds it against package.json. */
export const version = '0.1.0';
