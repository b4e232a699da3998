import { ParseErrorCode, printParseErrorCode } from 'jsonc-parser';

/** Returns a readable message for a syntax error in JSON with comments. */
export function describeParseError(code: ParseErrorCode): string {
  switch (code) {
    case ParseErrorCode.InvalidSymbol:
      return 'not a JSON value; strings need double quotes';
    case ParseErrorCode.InvalidNumberFormat:
      return 'not a number';
    case ParseErrorCode.PropertyNameExpected:
      return 'a key in double quotes is missing';
    case ParseErrorCode.ValueExpected:
      return 'a value is missing';
    case ParseErrorCode.ColonExpected:
      return 'a colon after the key is missing';
    case ParseErrorCode.CommaExpected:
      return 'a comma is missing, or a brace or bracket was closed too early';
    case ParseErrorCode.CloseBraceExpected:
      return 'a closing brace is missing';
    case ParseErrorCode.CloseBracketExpected:
      return 'a closing bracket is missing';
    case ParseErrorCode.EndOfFileExpected:
      return 'text after the end of the value';
    case ParseErrorCode.UnexpectedEndOfComment:
      return 'a comment is not closed';
    case ParseErrorCode.UnexpectedEndOfString:
      return 'a string is not closed by a double quote';
    case ParseErrorCode.InvalidUnicode:
    case ParseErrorCode.InvalidEscapeCharacter:
    case ParseErrorCode.InvalidCharacter:
    case ParseErrorCode.InvalidCommentToken:
    case ParseErrorCode.UnexpectedEndOfNumber:
      return printParseErrorCode(code);
    default:
      return printParseErrorCode(code);
  }
}
