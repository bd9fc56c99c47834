#include "protocol/csv.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

TEST_GROUP(Csv){};

TEST(Csv, ReadsQuotesLineEndsAndByteOrderMark) {
  const auto table = ParseCsv(
      "\xEF\xBB\xBF"
      "a, b ,\"c,\"\"d\"\"\n e\"\r\n1,,2\r\n,,\r\n");
  LONGS_EQUAL(3, table.rows.size());
  LONGS_EQUAL(0, table.faults.size());
  STRCMP_EQUAL("a", table.rows[0][0].c_str());
  STRCMP_EQUAL("b", table.rows[0][1].c_str());
  STRCMP_EQUAL("c,\"d\"\n e", table.rows[0][2].c_str());
  STRCMP_EQUAL("", table.rows[1][1].c_str());
  LONGS_EQUAL(3, table.rows[2].size());
}

TEST(Csv, DetectsTheSeparatorFromTheFirstLine) {
  BYTES_EQUAL(';', ParseCsv("a;b;\"x,y,z\"\n").separator);
  BYTES_EQUAL('\t', ParseCsv("a\tb\n").separator);
  const auto table = ParseCsv("sep=;\r\na;b,c\r\n");
  BYTES_EQUAL(';', table.separator);
  STRCMP_EQUAL("b,c", table.rows[0][1].c_str());
}

TEST(Csv, ReportsMisplacedAndUnclosedQuotes) {
  const auto table = ParseCsv("a,b\n\"x\"y,\"z\n");
  LONGS_EQUAL(2, table.faults.size());
  LONGS_EQUAL(1, table.faults[0].row);
  LONGS_EQUAL(0, table.faults[0].column);
  LONGS_EQUAL(1, table.faults[1].column);
  LONGS_EQUAL(0, ParseCsv("").rows.size());
}

TEST(Csv, FormatsColumnNamesAsSpreadsheetsDo) {
  STRCMP_EQUAL("A", FormatColumnName(0).c_str());
  STRCMP_EQUAL("Z", FormatColumnName(25).c_str());
  STRCMP_EQUAL("AA", FormatColumnName(26).c_str());
  STRCMP_EQUAL("BA", FormatColumnName(52).c_str());
}
