import {readFileSync, readdirSync} from 'node:fs';
import {join, relative} from 'node:path';
import {expect} from 'earl';

const sourceFolder = import.meta.dirname;
const importPattern = /(?:from|import) '(?<target>[^']+)'/gv;
const clockPattern = /\b(?:Date\.now|performance\.now|Math\.random|setTimeout|setInterval)\b/v;

function sources(folder: string): string[] {
	return readdirSync(join(sourceFolder, folder), {recursive: true, encoding: 'utf8'})
		.filter(name => name.endsWith('.ts') && !name.endsWith('.test.ts'))
		.map(name => join(folder, name));
}

function imports(file: string): string[] {
	const text = readFileSync(join(sourceFolder, file), 'utf8');
	return [...text.matchAll(importPattern)].map(match => {
		const target = match.groups!.target!;
		return target.startsWith('.') ? relative(sourceFolder, join(sourceFolder, file, '..', target)) : target;
	});
}

describe('layering', () => {
	it('keeps src/common free of platform layers, sockets, clocks and random numbers', () => {
		const forbidden = /^node:|^(?:node|daemon|cli|stand-ins|demo|proof)\/|^(?:undici|hono|@hono|@grpc|hot-shots|tslog)/v;
		const wrong = sources('common').flatMap(file => [
			...imports(file).filter(target => forbidden.test(target)).map(target => `${file} imports ${target}`),
			...(clockPattern.test(readFileSync(join(sourceFolder, file), 'utf8')) ? [`${file} uses a clock or random numbers`] : []),
		]);
		expect(wrong).toEqual([]);
	});

	it('keeps the adapters of src/node independent of the programs that use them', () => {
		const wrong = sources('node').flatMap(file =>
			imports(file).filter(target => /^(?:daemon|cli|stand-ins|demo|proof)\//v.test(target)).map(target => `${file} imports ${target}`));
		expect(wrong).toEqual([]);
	});
});
