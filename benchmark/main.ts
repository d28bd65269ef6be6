/** `npm run bench -- NAME …` runs one benchmark with its own arguments. */
import {spawnSync} from 'node:child_process';
import {existsSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';

const usageExitCode = 2;

/** Benchmarks that stand elsewhere: what speaks the platform's words stays in its folder. */
const otherFolders: Readonly<Record<string, string>> = {stops: join(import.meta.dirname, '../platform')};

function fileOf(name: string): string {
	return join(otherFolders[name] ?? import.meta.dirname, name, 'main.ts');
}

function names(): string[] {
	return [...readdirSync(import.meta.dirname), ...Object.keys(otherFolders)].filter(name => existsSync(fileOf(name))).toSorted();
}

function main(name: string | undefined, parameters: readonly string[]): number {
	if (name === undefined || !names().includes(name)) {
		console.error(`usage: npm run bench -- ${names().join('|')} [--help]`);
		return usageExitCode;
	}

	const result = spawnSync(process.execPath, ['--import=tsx', fileOf(name), ...parameters], {stdio: 'inherit'});
	return result.status ?? 1;
}

process.exitCode = main(process.argv[2], process.argv.slice(3));
