/** `npm run bench -- NAME …` runs one benchmark with its own arguments. */
import {spawnSync} from 'node:child_process';
import {existsSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';

const usageExitCode = 2;

/** Benchmarks in other folders: platform-specific code stays in `platform`. */
const otherFolders: Readonly<Record<string, string>> = {stops: join(import.meta.dirname, '../platform')};

function mainFileOf(name: string): string {
	return join(otherFolders[name] ?? import.meta.dirname, name, 'main.ts');
}

function benchmarkNames(): string[] {
	return [...readdirSync(import.meta.dirname), ...Object.keys(otherFolders)].filter(name => existsSync(mainFileOf(name))).toSorted();
}

function main(name: string | undefined, parameters: readonly string[]): number {
	if (name === undefined || !benchmarkNames().includes(name)) {
		console.error(`usage: npm run bench -- ${benchmarkNames().join('|')} [--help]`);
		return usageExitCode;
	}

	const result = spawnSync(process.execPath, ['--import=tsx', mainFileOf(name), ...parameters], {stdio: 'inherit'});
	return result.status ?? 1;
}

process.exitCode = main(process.argv[2], process.argv.slice(3));
