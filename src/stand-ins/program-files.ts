/** Locates the package's files and programs, both when run from the sources by tsx and when run from `dist`. */
import {existsSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const isSource = import.meta.url.endsWith('.ts');

function findRoot(): string {
	let folder = dirname(fileURLToPath(import.meta.url));
	while (!existsSync(join(folder, 'package.json')) && dirname(folder) !== folder) {
		folder = dirname(folder);
	}

	return folder;
}

/** Folder that contains `package.json`. */
export const packageRoot = findRoot();

/** How Node loads modules of this package by path, such as `src/stand-ins/platform/main`. */
export type ModuleFiles = {
	/** Node options that are needed to load the modules. */
	readonly loader: readonly string[];
	readonly file: (path: string) => string;
};

/** Loads the sources through tsx. */
export const sourceFiles: ModuleFiles = {
	loader: ['--import=tsx'],
	file: path => join(packageRoot, `${path}.ts`),
};

/** Loads the files built into `dist`, as in production; needs less memory than tsx. */
export const builtFiles: ModuleFiles = {
	loader: [],
	file: path => join(packageRoot, 'dist', `${path}.js`),
};

/** Loads modules in the same way as this module was loaded. */
export const ownFiles: ModuleFiles = isSource ? sourceFiles : builtFiles;
