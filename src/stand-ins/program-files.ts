/** Finds files of the package and its programs, whether run from the sources by tsx or from `dist`. */
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

/** Folder of `package.json`. */
export const packageRoot = findRoot();

/** Arguments for node to load modules of ours by path, such as `src/stand-ins/platform/main`. */
export type ModuleFiles = {
	/** What node needs before it can load them. */
	readonly loader: readonly string[];
	readonly file: (path: string) => string;
};

/** By the sources, through tsx. */
export const sourceFiles: ModuleFiles = {
	loader: ['--import=tsx'],
	file: path => join(packageRoot, `${path}.ts`),
};

/** As built into `dist`: what runs in service, with less memory. */
export const builtFiles: ModuleFiles = {
	loader: [],
	file: path => join(packageRoot, 'dist', `${path}.js`),
};

/** In the way in which this very module runs. */
export const ownFiles: ModuleFiles = isSource ? sourceFiles : builtFiles;
