/** `npm run bench -- NAME …` runs one benchmark with its own arguments. */
import {spawnSync} from 'node:child_process';
import {existsSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';

const usageExitCode = 2;

function names(): string[] {
	return readdirSync(import.meta.dirname).filter(name => existsSync(join(import.meta.dirname, name, 'main.ts'))).toSorted();
}

function main(name: string | undefined, parameters: readonly string[]): number {
	if (name === undefined || !names().includes(name)) {
		console.error(`usage: npm run bench -- ${names().join('|')} [--help]`);
		return usageExitCode;
	}

	const file = join(import.meta.dirname, name, 'main.ts');
	const result = spawnSync(process.execPath, ['--import=tsx', file, ...parameters], {stdio: 'inherit'});
	return result.status ?? 1;
}

process.exitCode = main(process.argv[2], process.argv.slice(3));
