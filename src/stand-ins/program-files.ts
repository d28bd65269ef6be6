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

/** Arguments for node that run a program of ours; `path` such as `src/stand-ins/platform/main`. */
export function programArguments(path: string): string[] {
	return isSource
		? ['--import=tsx', join(packageRoot, `${path}.ts`)]
		: [join(packageRoot, 'dist', `${path}.js`)];
}
