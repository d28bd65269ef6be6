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
	it('keeps src/common free of the platform layers, sockets, clock and chance', () => {
		const forbidden = /^node:|^(?:node|daemon|cli|stand-ins|demo|proof)\/|^(?:undici|hono|@hono|@grpc|hot-shots|tslog)/v;
		const wrong = sources('common').flatMap(file => [
			...imports(file).filter(target => forbidden.test(target)).map(target => `${file} imports ${target}`),
			...(clockPattern.test(readFileSync(join(sourceFolder, file), 'utf8')) ? [`${file} uses clock or chance`] : []),
		]);
		expect(wrong).toEqual([]);
	});

	it('keeps the adapters of src/node free of the programs built on them', () => {
		const wrong = sources('node').flatMap(file =>
			imports(file).filter(target => /^(?:daemon|cli|stand-ins|demo|proof)\//v.test(target)).map(target => `${file} imports ${target}`));
		expect(wrong).toEqual([]);
	});
});
