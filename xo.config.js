// XO decides formatting and names. Each rule set aside here names the clash that forces it.
const xoConfig = [
	{
		ignores: ['dist/**', 'charts/**', 'docs/**'],
	},
	{
		rules: {
			// House style: private members start with an underscore.
			'@typescript-eslint/naming-convention': 'off',
			// The library's own event emitters are typed; `null` is what zod, undici and JSON hand over.
			'unicorn/no-null': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			// Result chains are read in order; neverthrow's `match` is no array method.
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/no-array-for-each': 'off',
			// One class a file is the rule here; small value classes of one union stay together.
			'max-classes-per-file': 'off',
			'unicorn/no-thenable': 'off',
			// Hot loops are written as loops over indices where a measurement asks for it.
			'unicorn/no-for-loop': 'off',
			'no-await-in-loop': 'off',
			'n/prefer-global/process': 'off',
			'n/prefer-global/buffer': 'off',
			'@typescript-eslint/prefer-readonly-parameter-types': 'off',
			'@typescript-eslint/class-literal-property-style': 'off',
			'@typescript-eslint/member-ordering': 'off',
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			'capitalized-comments': 'off',
			'max-params': ['error', 5],
			complexity: ['error', 15],
			// A `default` that hands the rest on is a decision, not an omission.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			'import-x/extensions': 'off',
			'unicorn/prefer-event-target': 'off',
			'@typescript-eslint/no-unnecessary-condition': 'off',
		},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			// earl's expectations read as statements; fast-check's properties return promises to mocha.
			'@typescript-eslint/no-floating-promises': 'error',
			'max-nested-callbacks': 'off',
			// Mocha hands the snapshot context over as `this`.
			'func-names': 'off',
			// Short listeners push to a log; what push returns is of no interest.
			'@typescript-eslint/strict-void-return': 'off',
			'prefer-arrow-callback': 'off',
		},
	},
];

export default xoConfig;
